/** Guards against reports of queues, and the admissions that answer them, in deployments whose rules do not use priorities. */
import {expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {ControlClient} from '../../src/protocol/control_client';
import {ControlMessage} from '../../src/protocol/control_message';
import {MessageOf} from '../../src/protocol/message_of';
import {rulesCodec} from '../../src/protocol/rules_codec';
import {ControlPoller} from '../../src/gateway/control/control_poller';

type Ask = MessageOf<ControlMessage, 'gateway-ask'>;

const QUEUE = {
  pool: 'p',
  model: 'm',
  levels: [{urgency: 0, waiting: 1, requestsPerSecond: 1}],
};

/** Returns the second poll of a gateway, which has the rules from the answer to the first. */
async function askTwice(priorities: readonly number[]): Promise<Ask> {
  const rules = rulesCodec.encode({
    version: 1,
    routes: priorities.map(priority => ({
      name: 'r',
      host: 'h',
      pathPrefix: '/',
      kind: 'safe' as const,
      timeoutMs: 1,
      objectiveMs: 1,
      priority,
      targets: [{pool: 'p', weight: 1}],
      maxAttempts: 1,
      isAnonymous: true,
      isResumable: false,
    })),
    pools: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  const ignore = () => undefined;
  return new Promise(resolve => {
    const ask = (message: Ask) => {
      if (message.rulesVersion > 0) {
        resolve(message);
        return new Promise(ignore);
      }
      return Promise.resolve({
        rules,
        rulesVersion: 1,
        tableTag: '',
        isComplete: true,
        runningElsewhere: {},
        gateways: 1,
        control: [],
      });
    };
    ControlPoller.create({
      gatewayId: 'g',
      client: {ask, close: ignore} as unknown as ControlClient,
      clock: {now: () => 1_000},
      events: EventRing.create(),
      confirmationMs: 1_000,
      changesWithinMs: 1_000,
      collectReport: () => ({
        stalled: [],
        answering: [],
        answeringMsAgo: [],
        running: {},
        closedHeads: [],
        saturatedModels: [],
        hasServed: true,
        demand: {},
        queues: [QUEUE],
      }),
      onRunning: ignore,
      readSuspectsVersion: () => 0,
      onSuspects: ignore,
      limits: {
        describeChanges: () => ({limitsTag: '', limits: [], cold: []}),
        applyChanges: ignore,
        recordTargets: ignore,
      },
      onTargets: ignore,
      onControl: ignore,
    });
  });
}

test('the queues are reported where routes have different priorities', async () => {
  expect((await askTwice([0, 1])).queues).toEqual([QUEUE]);
});

test('no queues are reported where all priorities are equal', async () => {
  expect((await askTwice([1, 1])).queues).toBeUndefined();
});
