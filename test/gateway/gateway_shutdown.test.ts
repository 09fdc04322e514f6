import {describe, expect, test} from 'vitest';
import {EventRing} from '../../src/common/event_ring';
import {GatewayShutdown} from '../../src/gateway/gateway_shutdown';

const ROUTE = {
  name: 'r',
  kind: 'safe' as const,
  objectiveMs: 300,
  isResumable: false,
};

function create(timeoutMs = 8_000) {
  const clock = {time: 0, now: () => clock.time};
  const events = EventRing.create();
  const shutdown = GatewayShutdown.create({
    gatewayId: 'g',
    clock,
    events,
    timeoutMs,
    maxRetryAfterFraction: 0.3,
  });
  shutdown.recordStarted(700);
  let isFinished = false;
  const begin = () => {
    void shutdown.run({
      countTaken: () => (isFinished ? 0 : 1),
      countOpen: () => 0,
      stopAccepting: () => undefined,
      giveUp: () => undefined,
    });
  };
  const end = () => {
    isFinished = true;
    clock.time = 1e9;
  };
  const admit = (isOnNewConnection = true, leftMs = 20_000) =>
    shutdown.admit({route: ROUTE, leftMs, isOnNewConnection});
  return {shutdown, clock, begin, end, admit};
}

describe('a gateway that shuts down', () => {
  test('admits requests that finish in time, judged by the longest recent one of the route', () => {
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

  test('falls back to the objective of a route without recent requests', () => {
    const {clock, begin, end, admit} = create(1_000);
    begin();
    clock.time = 570;
    expect(admit()).toBeUndefined();
    clock.time = 580;
    expect(admit()).toMatchObject({status: 503});
    end();
  });

  test('tells callers to retry at once while other gateways are ready', () => {
    const {shutdown, clock, begin, end, admit} = create();
    shutdown.recordAnswered('r', 7_500);
    begin();
    // Callers cannot have noticed yet, so a new connection implies nothing.
    expect(admit(true)?.retryAfterMs).toBe(20);
    clock.time = 3_000;
    expect(admit(false)?.retryAfterMs).toBe(20);
    end();
  });

  test('tells callers without an alternative to retry once gateways have restarted', () => {
    const {shutdown, clock, begin, end, admit} = create();
    shutdown.recordAnswered('r', 1_500);
    begin();
    clock.time = 3_000;
    // The longest recent request, plus the startup time.
    expect(admit(true)?.retryAfterMs).toBe(2_200);
    // Callers honor a retry delay only up to a fraction of their remaining time.
    expect(admit(true, 4_000)?.retryAfterMs).toBe(1_200);
    end();
  });
});
