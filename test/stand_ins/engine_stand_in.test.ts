import {afterEach, expect, test} from 'vitest';
import {EngineStandIn} from './engine_stand_in';

// Guards against a listener for each wait, of which Node warns after ten.

/** Enough bytes that the response fills its buffers dozens of times. */
const TOKENS = 100_000;
const warnings: string[] = [];
const recordWarning = (warning: Error) => warnings.push(warning.name);

afterEach(() => {
  process.off('warning', recordWarning);
});

test('a long answer to a slow reader leaves no listeners behind', async () => {
  process.on('warning', recordWarning);
  const standIn = await EngineStandIn.create({kind: 'model', name: 'm'});
  try {
    const answer = await fetch(`${standIn.url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({stream: true, max_tokens: TOKENS}),
    });
    await answer.text();
    // Warnings are emitted after the code that caused them.
    await new Promise(resolve => setImmediate(resolve));
  } finally {
    await standIn.close();
  }

  expect(standIn.totalRuns).toBe(1);
  expect(warnings).toEqual([]);
});
