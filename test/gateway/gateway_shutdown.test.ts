import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {GatewayShutdown} from '../../src/gateway/gateway_shutdown';

const ROUTE = {name: 'r', objectiveMs: 300};

function create(withinMs = 8_000) {
  const clock = {time: 0, now: () => clock.time};
  const events = EventRing.create();
  const shutdown = GatewayShutdown.create({
    gatewayId: 'g',
    clock,
    events,
    withinMs,
    maxRetryAfterFraction: 0.3,
  });
  shutdown.recordStarted(700);
  let left = false;
  const begin = () => {
    void shutdown.run({
      countTaken: () => (left ? 0 : 1),
      countOpen: () => 0,
      stopAccepting: () => undefined,
      giveUp: () => undefined,
    });
  };
  const end = () => {
    left = true;
    clock.time = 1e9;
  };
  const admit = (isOnNewConnection = true, leftMs = 20_000) =>
    shutdown.admit({route: ROUTE, leftMs, isOnNewConnection});
  return {shutdown, clock, begin, end, admit};
}

describe('a gateway that stops', () => {
  test('takes what fits into its time, by the longest of the route lately', () => {
    const {shutdown, clock, begin, end, admit} = create(2_000);
    shutdown.recordAnswered('r', 1_000);
    shutdown.recordAnswered('r', 200);
    begin();
    clock.time = 700;
    expect(admit()).toBeUndefined();
    clock.time = 800;
    expect(admit()).toMatchObject({status: 503});
    end();
  });

  test('counts on the objective of a route that was not seen lately', () => {
    const {clock, begin, end, admit} = create(1_000);
    begin();
    clock.time = 570;
    expect(admit()).toBeUndefined();
    clock.time = 580;
    expect(admit()).toMatchObject({status: 503});
    end();
  });

  test('sends callers elsewhere at once while others are ready', () => {
    const {shutdown, clock, begin, end, admit} = create();
    shutdown.recordAnswered('r', 7_500);
    begin();
    // Nobody has noticed yet, so that its caller came says nothing.
    expect(admit(true)?.retryAfterMs).toBe(20);
    clock.time = 3_000;
    expect(admit(false)?.retryAfterMs).toBe(20);
    end();
  });

  test('tells those who are sent here all the same to come when gateways are back', () => {
    const {shutdown, clock, begin, end, admit} = create();
    shutdown.recordAnswered('r', 1_500);
    begin();
    clock.time = 3_000;
    // To finish what was taken, and to start again.
    expect(admit(true)?.retryAfterMs).toBe(2_200);
    // Callers come back within a third of the time that they have left.
    expect(admit(true, 4_000)?.retryAfterMs).toBe(1_200);
    end();
  });
});
