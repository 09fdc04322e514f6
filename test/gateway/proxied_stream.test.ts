import {describe, expect, test} from 'vitest';
import {events, start, stream} from '../support/backend_scripts';
import {waitUntil} from '../support/wait_until';

describe('a stream', () => {
  const route = {kind: 'stream', isResumable: true} as const;
  const model = {model: 'm'};

  test('is passed on event by event under the head of its backend server', async () => {
    const {fixture} = await start(
      [stream('a', [1, 2, 3], 'whole')],
      route,
      model,
    );
    const received = await fixture.ask();

    expect(received.body).toBe(events(1, 2, 3));
    expect(received.headers.seal).toBe('a');
    expect(received.isWhole).toBe(true);
  });

  test('goes on at another backend server behind the last whole event', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1, 2], 'reset', 'id: 3\nda'), stream('b', [3, 4], 'whole')],
      route,
      model,
    );
    const received = await fixture.ask();

    expect(received.body).toBe(events(1, 2, 3, 4));
    expect(received.headers.seal).toBe('a');
    expect(backends[1].requests[0].headers.get('last-event-id')).toBe('2');
  });

  test('that stops in the middle goes on elsewhere, and the silent one is let go', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1], 'silent'), stream('b', [2], 'whole')],
      route,
      model,
    );
    const received = await fixture.ask();

    expect(received.body).toBe(events(1, 2));
    await waitUntil('closed', () => backends[0].openConnections === 0);
    expect(fixture.board.listNews().stalled).toEqual(['i0']);
  });

  test('goes on at the same backend server once that is the head of a new group', async () => {
    const parts = [
      stream('a', [1, 2], 'reset', 'id: 3\nda'),
      stream('b', [3, 4], 'whole'),
    ];
    const {fixture, backends} = await start(
      [request => parts.shift()?.(request)],
      route,
      {...model, epoch: 7},
    );
    const asked = fixture.ask();
    const [backend] = backends;
    await waitUntil(
      'broken',
      () => backend.requests.length === 1 && backend.openConnections === 0,
    );
    fixture.board.setTargets(new Map());
    const [[incarnation, target]] = fixture.targets;
    const again = {...target, epoch: 9};
    fixture.board.setTargets(new Map([[incarnation, again]]));

    expect((await asked).body).toBe(events(1, 2, 3, 4));
    expect(backends[0].requests).toHaveLength(2);
  });

  test('that nobody goes on with in time is broken off', async () => {
    const {fixture} = await start([stream('a', [1, 2], 'reset')], route, model);
    const received = await fixture.ask();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(events(1, 2));
    expect(fixture.results[0].outcome).toBe('failed');
  });

  test('that may not be resumed is broken off, never ended as whole', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'reset'), stream('b', [2], 'whole')],
      {...route, isResumable: false},
      model,
    );
    const received = await fixture.ask();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(events(1));
  });

  test('that ends within an event is not whole', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'whole', 'id: 2\nda')],
      {...route, isResumable: false},
      model,
    );
    const received = await fixture.ask();

    expect(received.isWhole).toBe(false);
    expect(received.body).toBe(events(1));
  });

  test('beyond the places of every engine is refused early', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1], 'whole')],
      route,
      model,
    );
    fixture.board.setRunningElsewhere({i0: 4});
    const received = await fixture.ask();

    expect(received.status).toBe(503);
    expect(fixture.results[0].tookMs).toBeLessThan(500 / 4);
    expect(backends[0].requests).toHaveLength(0);
  });

  test('whose work would end too late if it waited is refused without a wait', async () => {
    const {fixture, backends} = await start(
      [stream('a', [1], 'whole')],
      {...route, objectiveMs: 5_000},
      model,
    );
    await fixture.ask();
    for (let count = 0; count < 200; count += 1) {
      fixture.forecast.recordWork('r p', 4_990);
      fixture.forecast.join('p m', {});
    }
    // 10 ms are left, and 200 others wait for a place before it.
    fixture.board.setRunningElsewhere({i0: 4});
    const received = await fixture.ask();

    expect(received.status).toBe(503);
    expect(backends[0].requests).toHaveLength(1);
    expect(fixture.results.map(({reason}) => reason)).toEqual([
      'whole',
      'no backend server can take it now',
    ]);
  });

  test('that would be late even at once waits as the first in line, and alone', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'whole')],
      {...route, objectiveMs: 5_000},
      model,
    );
    await fixture.ask();
    for (let count = 0; count < 100; count += 1) {
      fixture.forecast.recordWork('r p', 9_000);
    }
    fixture.board.setRunningElsewhere({i0: 4});
    const first = fixture.ask();
    await waitUntil(
      'the line',
      () => fixture.forecast.countAhead('p m', {}) > 0,
    );
    const second = await fixture.ask();
    fixture.board.setRunningElsewhere({i0: 3});

    expect(second.status).toBe(503);
    expect((await first).body).toBe(events(1));
  });

  test('of a model whose repairs outlast its caller is broken off at once', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'reset')],
      {...route, maxAttempts: 3},
      {...model, epoch: 7},
    );
    const [[incarnation, target]] = fixture.targets;
    const setEpoch = (epoch: number) =>
      fixture.board.setTargets(new Map([[incarnation, {...target, epoch}]]));
    fixture.board.setTargets(new Map());
    // Callers bear pauses of 2 s.
    await new Promise(resolve => setTimeout(resolve, 2_100));
    setEpoch(8);
    const received = await fixture.ask();

    expect(received.isWhole).toBe(false);
    expect(fixture.results[0].reason).toBe('the connection broke');
  });

  test('does not overtake those that wait before it', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'whole')],
      {...route, objectiveMs: 20_000},
      model,
    );
    await fixture.ask();
    const earlier = {};
    fixture.forecast.join('p m', earlier);
    const asked = fixture.ask();
    await waitUntil(
      'its place in the line',
      () => fixture.forecast.countAhead('p m', {}) === 2,
    );
    fixture.forecast.leave('p m', earlier);

    expect((await asked).body).toBe(events(1));
  });

  test('that waits for a place takes the first that gets free', async () => {
    const {fixture} = await start(
      [stream('a', [1], 'whole')],
      {...route, objectiveMs: 20_000},
      model,
    );
    // A place has fallen free here lately, so there is hope.
    await fixture.ask();
    fixture.board.setRunningElsewhere({i0: 4});
    const asked = fixture.ask();
    setTimeout(() => fixture.board.setRunningElsewhere({i0: 3}), 50);

    expect((await asked).body).toBe(events(1));
  });
});
