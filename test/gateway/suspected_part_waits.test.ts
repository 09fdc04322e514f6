import {expect, test} from 'vitest';
import {sendStream, startFixture} from '../support/backend_scripts';

const MODEL = {model: 'm', slots: 4};
const SLOTS = 4;
/** Several checks of waiting requests. */
const WAIT_MS = 150;

// A request with a suspected part was refused at once where no slot was free, also from the queue.
test('a request with a suspected part waits while no slot is free', async () => {
  const {fixture, backends} = await startFixture(
    [sendStream('a', [1], 'whole')],
    {kind: 'stream', isResumable: true},
    MODEL,
  );
  fixture.balancer.setRunningElsewhere({i0: SLOTS});
  const part = {name: 'part:x@m', standing: 'suspected' as const};
  fixture.containment.apply({
    version: 1,
    isWhole: true,
    suspected: [],
    convicted: [],
    freed: [],
    parts: [{...part, companions: []}],
  });
  const response = fixture.send({'prompt-parts': 'x', model: 'm'});
  await new Promise(resolve => setTimeout(resolve, WAIT_MS));
  expect(fixture.results).toEqual([]);
  fixture.balancer.setRunningElsewhere({});

  expect((await response).status).toBe(200);
  expect(backends[0].requests).toHaveLength(1);
});
