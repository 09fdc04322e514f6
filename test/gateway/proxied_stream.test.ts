import {describe, expect, test} from 'vitest';
import {
  encodeEvents,
  refuseNotRun,
  startFixture,
  sendStream,
} from '../support/backend_scripts';
import {createQueuedRequest} from '../support/create_queued_request';
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
      fixture.queue.join(createQueuedRequest({workspace: ''}));
    }
    // Its caller tolerates a pause of 2 s, and 200 others wait in the queue before it.
    fixture.balancer.setRunningElsewhere({i0: 4});
    const received = await fixture.send();

    expect(received.status).toBe(503);
    expect(backends[0].requests).toHaveLength(1);
    expect(fixture.results.map(({reason}) => reason)).toEqual([
      'whole',
      expect.stringMatching(
        /^no backend server can take it now; urgency 0, 200 ahead, a slot in: \d+ ms, by 0 running here for \d+ ms each$/,
      ),
    ]);
    expect(fixture.results[1].tookMs).toBeLessThan(50);
  });

  test('that misses its objective in any case waits while its caller does', async () => {
    // Guards against refusing requests whose callers would take a late answer.
    const {fixture} = await startFixture(
      [sendStream('a', [1], 'whole')],
      {...route, objectiveMs: 100},
      model,
    );
    await fixture.send();
    for (let count = 0; count < 100; count += 1) {
      fixture.forecast.recordFirstEventMs('r p', 300);
    }
    fixture.balancer.setRunningElsewhere({i0: 4});
    const waiting = [fixture.send(), fixture.send()];
    await waitUntil('the queue', () => fixture.queue.size === 2);
    await new Promise(resolve => setTimeout(resolve, 300));
    fixture.balancer.setRunningElsewhere({i0: 3});

    const bodies = (await Promise.all(waiting)).map(({body}) => body);
    expect(bodies).toEqual([encodeEvents(1), encodeEvents(1)]);
  });

  test('that waits is not sent under rules that are no longer confirmed', async () => {
    // Guards against requests of a workspace whose key was revoked while they waited.
    const {fixture, backends} = await startFixture(
      [sendStream('a', [1], 'whole')],
      {...route, objectiveMs: 20_000},
      model,
    );
    await fixture.send();
    fixture.balancer.setRunningElsewhere({i0: 4});
    const response = fixture.send();
    await waitUntil('the queue', () => fixture.queue.size === 1);
    fixture.isConfirmed = false;
    fixture.balancer.setRunningElsewhere({i0: 3});
    const received = await response;

    expect(received.status).toBe(503);
    expect(Number(received.headers['retry-after'])).toBeGreaterThan(0);
    expect(backends[0].requests).toHaveLength(1);
  });

  test('returns to the queue when an engine refuses it without running it', async () => {
    // Guards against refusing callers because an engine's slots were overestimated.
    let refusals = 5;
    const {fixture, backends} = await startFixture(
      [
        connection =>
          refusals-- > 0
            ? refuseNotRun(connection)
            : sendStream('a', [1], 'whole')(connection),
      ],
      {...route, objectiveMs: 20_000},
      model,
    );
    const received = await fixture.send();

    expect(received.body).toBe(encodeEvents(1));
    expect(backends[0].requests).toHaveLength(6);
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
    const earlier = createQueuedRequest();
    fixture.queue.join(earlier);
    const response = fixture.send();
    await waitUntil('its place in the queue', () => fixture.queue.size === 2);
    fixture.queue.leave(earlier);

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
