import {describe, expect, test} from 'vitest';
import {
  encodeEvents,
  startFixture,
  sendStream,
} from '../support/backend_scripts';
import {waitUntil} from '../support/wait_until';

describe('a stream', () => {
  const route = {kind: 'stream', isResumable: true} as const;
  const model = {model: 'm'};

  test('is forwarded event by event under the head of its backend server', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1, 2, 3], 'whole')],
      route,
      model,
    );
    const received = await fixture.send();

    expect(received.body).toBe(encodeEvents(1, 2, 3));
    expect(received.headers.seal).toBe('a');
    expect(received.isWhole).toBe(true);
  });

  test('resumes at another backend server after the last complete event', async () => {
    const {fixture, backends} = await startFixture(
      [
        sendStream('a', [1, 2], 'reset', 'id: 3\nda'),
        sendStream('b', [3, 4], 'whole'),
      ],
      route,
      model,
    );
    const received = await fixture.send();

    expect(received.body).toBe(encodeEvents(1, 2, 3, 4));
    expect(received.headers.seal).toBe('a');
    expect(backends[1].requests[0].headers.get('last-event-id')).toBe('2');
  });

  test('that stalls resumes elsewhere, and the connection to the stalled backend server is closed', async () => {
    const {fixture, backends} = await startFixture(
      [sendStream('a', [1], 'silent'), sendStream('b', [2], 'whole')],
      route,
      model,
    );
    const received = await fixture.send();

    expect(received.body).toBe(encodeEvents(1, 2));
    await waitUntil('closed', () => backends[0].openConnectionCount === 0);
    expect(fixture.balancer.describeHealth().stalled).toEqual(['i0']);
  });

  test('resumes at the same backend server once that heads a new group', async () => {
    const parts = [
      sendStream('a', [1, 2], 'reset', 'id: 3\nda'),
      sendStream('b', [3, 4], 'whole'),
    ];
    const {fixture, backends} = await startFixture(
      [request => parts.shift()?.(request)],
      route,
      {...model, epoch: 7},
    );
    const response = fixture.send();
    const [backend] = backends;
    await waitUntil(
      'broken',
      () => backend.requests.length === 1 && backend.openConnectionCount === 0,
    );
    fixture.balancer.setTargets(new Map());
    const [[incarnation, target]] = fixture.targets;
    const again = {...target, epoch: 9};
    fixture.balancer.setTargets(new Map([[incarnation, again]]));

    expect((await response).body).toBe(encodeEvents(1, 2, 3, 4));
    expect(backends[0].requests).toHaveLength(2);
  });

  test('that no backend server resumes in time is truncated', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1, 2], 'reset')],
      route,
      model,
    );
    const received = await fixture.send();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(encodeEvents(1, 2));
    expect(fixture.results[0].outcome).toBe('failed');
  });

  test('that is not resumable is truncated and never ended as complete', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'reset'), sendStream('b', [2], 'whole')],
      {...route, isResumable: false},
      model,
    );
    const received = await fixture.send();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(encodeEvents(1));
  });

  test('that ends within an event is incomplete', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'whole', 'id: 2\nda')],
      {...route, isResumable: false},
      model,
    );
    const received = await fixture.send();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(encodeEvents(1));
  });

  test('is refused early when no engine has a free slot', async () => {
    const {fixture, backends} = await startFixture(
      [sendStream('a', [1], 'whole')],
      route,
      model,
    );
    fixture.balancer.setRunningElsewhere({i0: 4});
    const received = await fixture.send();

    expect(received.status).toBe(503);
    expect(fixture.results[0].tookMs).toBeLessThan(500 / 4);
    expect(backends[0].requests).toHaveLength(0);
  });

  test('is refused without waiting when it would get a slot too late', async () => {
    const {fixture, backends} = await startFixture(
      [sendStream('a', [1], 'whole')],
      {...route, objectiveMs: 5_000},
      model,
    );
    await fixture.send();
    for (let count = 0; count < 200; count += 1) {
      fixture.forecast.recordFirstEventMs('r p', 4_990);
      fixture.forecast.joinQueue('p m', {});
    }
    // 10 ms are left, and 200 others wait in the queue before it.
    fixture.balancer.setRunningElsewhere({i0: 4});
    const received = await fixture.send();

    expect(received.status).toBe(503);
    expect(backends[0].requests).toHaveLength(1);
    expect(fixture.results.map(({reason}) => reason)).toEqual([
      'whole',
      'no backend server can take it now',
    ]);
  });

  test('that misses its objective in any case waits only as the first in the queue', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'whole')],
      {...route, objectiveMs: 5_000},
      model,
    );
    await fixture.send();
    for (let count = 0; count < 100; count += 1) {
      fixture.forecast.recordFirstEventMs('r p', 9_000);
    }
    fixture.balancer.setRunningElsewhere({i0: 4});
    const first = fixture.send();
    await waitUntil(
      'the queue',
      () => fixture.forecast.countAhead('p m', {}) > 0,
    );
    const second = await fixture.send();
    fixture.balancer.setRunningElsewhere({i0: 3});

    expect(second.status).toBe(503);
    expect((await first).body).toBe(encodeEvents(1));
  });

  test('is truncated at once when repairs of its model take longer than its caller waits', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'reset')],
      {...route, maxAttempts: 3},
      {...model, epoch: 7},
    );
    const [[incarnation, target]] = fixture.targets;
    const setEpoch = (epoch: number) =>
      fixture.balancer.setTargets(new Map([[incarnation, {...target, epoch}]]));
    fixture.balancer.setTargets(new Map());
    // Callers tolerate pauses of 2 s.
    await new Promise(resolve => setTimeout(resolve, 2_100));
    setEpoch(8);
    const received = await fixture.send();

    expect(received.isWhole).toBe(false);
    expect(fixture.results[0].reason).toBe('the connection broke');
  });

  test('does not overtake requests that wait before it', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'whole')],
      {...route, objectiveMs: 20_000},
      model,
    );
    await fixture.send();
    const earlier = {};
    fixture.forecast.joinQueue('p m', earlier);
    const response = fixture.send();
    await waitUntil(
      'its place in the queue',
      () => fixture.forecast.countAhead('p m', {}) === 2,
    );
    fixture.forecast.leaveQueue('p m', earlier);

    expect((await response).body).toBe(encodeEvents(1));
  });

  test('that waits for a slot takes the first that becomes free', async () => {
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'whole')],
      {...route, objectiveMs: 20_000},
      model,
    );
    // A slot became free recently, so waiting is worthwhile.
    await fixture.send();
    fixture.balancer.setRunningElsewhere({i0: 4});
    const response = fixture.send();
    setTimeout(() => fixture.balancer.setRunningElsewhere({i0: 3}), 50);

    expect((await response).body).toBe(encodeEvents(1));
  });
});
