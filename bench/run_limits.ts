/** What a limit costs control: questions for permits, by gateways, limit and demand. */
import {ControlMessage} from '../src/protocol/control_message';
import {messageCodec} from '../src/protocol/message_codec';
import {createRandom} from '../test/support/create_random';
import {
  BACKEND,
  RateLimitSimulation,
} from '../test/support/rate_limit_simulation';

const GATEWAYS = [3, 16, 340];
const LIMITS = [0.5, 3.7, 50];
/** Demand over the limit, of all gateways together. */
const DEMANDS = [1.5, 4, 40];
const FROM_MS = 10_000;
const FOR_MS = 30_000;
const MS_PER_SECOND = 1_000;

const ASK: ControlMessage = {
  type: 'permit-ask',
  call: 123_456,
  gatewayId: 'front-saburtalo-1',
  limit: {incarnation: `${BACKEND}@1767225600000`, perSecond: 3.7, msAgo: 1.5},
};
const ANSWER: ControlMessage = {
  type: 'permit-answer',
  call: 123_456,
  verdict: {kind: 'granted', pauseMs: 12.5, intervalMs: 270.25},
};

async function measure(gateways: number, limit: number, demand: number) {
  const crowd = RateLimitSimulation.create({
    gateways,
    limitAt: () => limit,
    demandAt: () => (limit * demand) / gateways,
    random: createRandom(1),
  });
  await crowd.run(FROM_MS);
  const before = crowd.permitRequestCount;
  await crowd.run(FROM_MS + FOR_MS);
  const perSecond =
    ((crowd.permitRequestCount - before) * MS_PER_SECOND) / FOR_MS;
  const sent = crowd.countInformedRequests(FROM_MS, FROM_MS + FOR_MS);
  const used = (sent * MS_PER_SECOND) / FOR_MS / limit;
  console.log(
    `${gateways} gateways, ${limit} a second, demand ${demand} times that: ` +
      `${perSecond.toFixed(1)} questions a second in all, ` +
      `${(perSecond / gateways).toFixed(2)} from one gateway, ` +
      `${used.toFixed(2)} of the limit used`,
  );
}

async function main(): Promise<void> {
  const bytes = [ASK, ANSWER].map(message => messageCodec.encode(message));
  const [asked, answered] = bytes.map(({length}) => length);
  console.log(`a question: ${asked} bytes, an answer: ${answered} bytes`);
  for (const gateways of GATEWAYS) {
    for (const limit of LIMITS) {
      for (const demand of DEMANDS) {
        await measure(gateways, limit, demand);
      }
    }
  }
}

void main();
