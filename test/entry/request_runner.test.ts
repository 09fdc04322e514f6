import {describe, expect, test} from 'vitest';
import {systemClock} from '../../src/common/system_clock';
import {FakeHost} from '../support/fake_host';
import {
  EVENT_STREAM,
  createDataFrame,
  createEndFrame,
  createHost,
  sendRequest,
} from '../support/entry_scripts';
import {waitUntil} from '../support/wait_until';

describe('a response', () => {
  test('whose frames are lost, repeated or reordered never ends as complete', async () => {
    const orders = [
      [0, 2],
      [0, 0, 1],
      [1, 0, 2],
      [0, 1],
    ];
    for (const order of orders) {
      const host = await createHost((dispatch, send) => {
        const {stream} = dispatch;
        send({type: 'head', stream, status: 200, headers: EVENT_STREAM});
        order.forEach(sequence =>
          send(createDataFrame(stream, sequence, `t${sequence}`)),
        );
        send(createEndFrame(stream, 3));
      });
      const answer = await sendRequest([host], {isRepeatable: true});

      expect(answer.outcome, String(order)).toBe('failed');
      expect(answer.text, String(order)).toMatch(/"outcome":"failed"/);
    }
  });

  test('ignores late frames of an abandoned attempt', async () => {
    const lateSends: Array<() => void> = [];
    const first = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENT_STREAM});
      send(createDataFrame(stream, 0, 'a'));
      send(createDataFrame(stream, 5, 'gap'));
      lateSends.push(() => {
        send(createDataFrame(stream, 1, 'late'));
        send(createEndFrame(stream, 2));
      });
    });
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      const resumed = {...EVENT_STREAM, 'whinreel-resumed-from': '1'};
      lateSends.forEach(send => send());
      setTimeout(() => {
        send({type: 'head', stream, status: 200, headers: resumed});
        send(createDataFrame(stream, 0, 'b'));
        send(createDataFrame(stream, 1, '[DONE]'));
        send(createEndFrame(stream, 2));
      }, 50);
    });
    const answer = await sendRequest([first, second]);

    expect(second.dispatches[0].headers).toEqual({
      'whinreel-resume-after': '1',
    });
    expect(answer.text).toBe('data: a\n\ndata: b\n\ndata: [DONE]\n\n');
    expect(answer.outcome).toBe('answered');
  });

  test('is not continued by a replica that starts from the beginning', async () => {
    const first = await createHost((dispatch, send, peer) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENT_STREAM});
      send(createDataFrame(stream, 0, 'a'));
      peer.end();
    });
    const second = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: EVENT_STREAM});
      send(createDataFrame(stream, 0, 'a'));
      send(createEndFrame(stream, 1));
    });
    const answer = await sendRequest([first, second]);

    expect(answer.text.match(/data: a/g)).toHaveLength(1);
    expect(answer.text).toContain('event: error\n');
  });
});

describe('a request', () => {
  test('that one replica refused runs on the next one under another attempt id', async () => {
    const refusing = await createHost((dispatch, send) => {
      send({
        type: 'refused',
        stream: dispatch.stream,
        reason: 'full',
        retryAfterMs: 100,
      });
    });
    const answering = await createHost((dispatch, send) => {
      const {stream} = dispatch;
      send({type: 'head', stream, status: 200, headers: {}});
      send(createEndFrame(stream, 0));
    });
    const answer = await sendRequest([refusing, answering]);

    expect(answer.outcome).toBe('answered');
    const attempts = [refusing, answering].map(
      host => host.dispatches[0].attemptId,
    );
    expect(attempts).toEqual(['r.1', 'r.2']);
  });

  test('that every replica refused is answered not-run', async () => {
    const refuse: Parameters<typeof FakeHost.create>[0] = (dispatch, send) => {
      send({
        type: 'refused',
        stream: dispatch.stream,
        reason: 'full',
        retryAfterMs: 2_500,
      });
    };
    const answer = await sendRequest([
      await createHost(refuse),
      await createHost(refuse),
    ]);

    expect([answer.status, answer.outcome]).toEqual([503, 'not-run']);
  });

  test('that may have run on one replica is not answered not-run after another refused it', async () => {
    const breaking = await createHost((_dispatch, _send, peer) => peer.close());
    const refusing = await createHost((dispatch, send) => {
      send({
        type: 'refused',
        stream: dispatch.stream,
        reason: 'full',
        retryAfterMs: 100,
      });
    });
    const answer = await sendRequest([breaking, refusing]);

    expect(answer.outcome).toBe('unknown');
  });

  test('whose deadline passes is answered unknown, and its attempt is cancelled', async () => {
    const silent = await createHost(() => undefined);
    const answer = await sendRequest([silent], {
      deadline: systemClock.now() + 300,
    });

    expect(answer.outcome).toBe('unknown');
    await waitUntil('the cancel', () =>
      silent.messages.some(({type}) => type === 'cancel'),
    );
  });
});
