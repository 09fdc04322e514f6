import {describe, expect, onTestFinished, test} from 'vitest';
import {systemClock} from '../../src/common/system_clock';
import {IdempotencyClaims} from '../../src/entry/idempotency_claims';
import {FakeHost} from '../support/fake_host';
import {
  EVENT_STREAM,
  createDataFrame,
  createEndFrame,
  createHost,
  sendRequest,
  startRunner,
} from '../support/entry_scripts';
import {waitUntil} from '../support/wait_until';

/** Grants every claim. */
const GRANTED = {
  claim: async () => undefined,
  resolve: async () => undefined,
} as unknown as IdempotencyClaims;
const breakAfterHead: Parameters<typeof FakeHost.create>[0] = (
  dispatch,
  send,
) => {
  const {stream} = dispatch;
  const headers = {
    ...EVENT_STREAM,
    'x-of-first': 'a',
    'whinreel-request-id': 'b',
  };
  send({type: 'head', stream, status: 200, headers});
  send({type: 'end', stream, frames: 0, outcome: 'failed', reason: 'broke'});
};

describe('the head of a response', () => {
  // Headers of a failed attempt were sent with the response to the next one.
  test('has no header of an earlier attempt', async () => {
    const first = await createHost(breakAfterHead);
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: {'x-of-second': 'c'}});
      send(createDataFrame(stream, 0, 'a'));
      send(createEndFrame(stream, 1));
    });
    const answer = await sendRequest([first, second]);

    expect(answer.text).toBe('data: a\n\n');
    expect(answer.headers).toMatchObject({'x-of-second': 'c'});
    expect(Object.keys(answer.headers)).not.toContain('x-of-first');
    expect(Object.keys(answer.headers)).not.toContain('trailer');
  });

  // A backend server could replace the id of the request and promise that it did not run.
  test('takes the outcome and the id of the request from no backend server', async () => {
    const host = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      const headers = {
        ...EVENT_STREAM,
        'whinreel-outcome': 'not-run',
        'whinreel-request-id': 'other',
      };
      send({type: 'head', stream, status: 200, headers});
      send(createDataFrame(stream, 0, '[DONE]'));
      send(createEndFrame(stream, 1));
    });
    const answer = await sendRequest([host]);

    expect(answer.outcome).toBe('answered');
    expect(
      Object.keys(answer.headers).filter(name => name.startsWith('whinreel')),
    ).toEqual([]);
  });

  // Node.js threw for a trailer that a whole body cannot have, and the host was disconnected.
  test('announces no trailer of a backend server', async () => {
    const host = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: {trailer: 'x'}});
      send(createDataFrame(stream, 0, 'a'));
      send(createEndFrame(stream, 1));
    });
    const answer = await sendRequest([host]);

    expect(answer.text).toBe('data: a\n\n');
    expect(answer.outcome).toBe('answered');
  });

  // An error while one response was written closed the connection of all others to the host.
  const INVALID_HEADS: ReadonlyArray<{
    status: number;
    headers: Record<string, string>;
  }> = [
    {status: 99, headers: {}},
    {status: 200, headers: {x: 'line\nbreak'}},
    {status: 200, headers: {x: '\u2713'}},
    {status: 200, headers: {'not a name': 'x'}},
  ];
  test.for(INVALID_HEADS)(
    'that HTTP does not allow fails its own attempt only: %o',
    async head => {
      let finishOther: (() => void) | undefined;
      const host = await createHost((dispatch, send) => {
        const {stream} = dispatch;
        if (!finishOther) {
          finishOther = () => {
            send({type: 'head', stream, status: 200, headers: {}});
            send(createEndFrame(stream, 0));
          };
          return;
        }
        send({type: 'head', stream, ...head});
        send(createEndFrame(stream, 0));
      });
      const {send} = await startRunner([host]);
      const other = send({requestId: 'other'});
      await waitUntil('the other request', () => finishOther);
      const answer = await send({requestId: 'r'});
      finishOther?.();

      expect(answer.outcome).toBe('failed');
      expect((await other).outcome).toBe('answered');
    },
  );
});

describe('a response', () => {
  // A plain body is not cut at events and needs no end mark, so the stream could end anywhere.
  test('is not continued by a body that is no stream of events', async () => {
    const first = await createHost((dispatch, send, peer) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENT_STREAM});
      send(createDataFrame(stream, 0, 'a'));
      peer.end();
    });
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      const headers = {'whinreel-resumed-from': '1'};
      send({type: 'head', stream, status: 200, headers});
      send(createDataFrame(stream, 0, 'b'));
      send(createEndFrame(stream, 1));
    });
    const answer = await sendRequest([first, second]);

    expect(answer.text).not.toContain('data: b');
    // How the first attempt ended is not known.
    expect(answer.outcome).toBe('unknown');
  });

  // A request that must run at most once is not cancelled at its deadline.
  test('without an end is cancelled once its caller has waited in vain', async () => {
    let sentBytes = 0;
    let timer: NodeJS.Timeout | undefined;
    const piece = Buffer.alloc(64 * 1024);
    const host = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      let sequence = 0;
      send({type: 'head', stream, status: 200, headers: EVENT_STREAM});
      timer = setInterval(() => {
        send({type: 'data', stream, sequence, bytes: piece});
        sequence += 1;
        sentBytes += piece.length;
      }, 1);
    });
    onTestFinished(() => clearInterval(timer));
    const {send} = await startRunner([host], GRANTED);
    const answer = await send({
      isRepeatable: false,
      deadline: systemClock.now() + 100,
    });

    expect(answer.outcome).toBe('unknown');
    await waitUntil('the cancel', () =>
      host.messages.some(({type}) => type === 'cancel'),
    );
    expect(sentBytes).toBeLessThan(64 * 1024 * 1024);
  });
});
