/**
 * Guards against responses that a client takes as whole and that are not: drawn heads,
 * framings, cuts, ends and moments of the upload. What is true of a response follows
 * from how it was drawn and what its server did; nothing of the product reads it.
 */
import * as net from 'node:net';
import fc from 'fast-check';
import {afterEach, describe, expect, test} from 'vitest';
import {httpClients} from '../support/http_clients';
import {responseScript} from '../support/response_script';

type ResponseScript =
  typeof responseScript extends fc.Arbitrary<infer T> ? T : never;

const SEED = 20_261_207;
const RUNS = 3_334;
/** So that most drawn responses are not refused for want of a valid one. */
const MIN_WHOLE = 400;

const closers: Array<() => unknown> = [];

afterEach(() => {
  closers.splice(0).forEach(close => close());
});

/** Plays one script after another, each on a connection of its own. */
class ScriptedServer {
  script: ResponseScript | undefined;
  /** The server had read the whole request of the last script when it ended the connection. */
  hasReadRequest = false;
  address = '';

  static async create(): Promise<ScriptedServer> {
    const scripted = new ScriptedServer();
    const server = net.createServer(socket => scripted.accept(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    closers.push(() => server.close());
    const {port} = server.address() as net.AddressInfo;
    scripted.address = `127.0.0.1:${port}`;
    return scripted;
  }

  private accept(socket: net.Socket): void {
    const {script} = this;
    if (!script) {
      socket.destroy();
      return;
    }
    let head = '';
    let readBytes = 0;
    let isAnswered = false;
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      readBytes += chunk.length;
      head += head.includes('\r\n\r\n') ? '' : chunk.toString('latin1');
      const headBytes = head.indexOf('\r\n\r\n') + 4;
      const isWhole =
        headBytes >= 4 && readBytes >= headBytes + script.uploadBytes;
      if (!isAnswered && (isWhole || script.answersEarly)) {
        isAnswered = true;
        if (!isWhole) {
          socket.pause();
        }
        void this.answer(socket, script, isWhole);
      }
    });
  }

  private async answer(
    socket: net.Socket,
    {text, sentBytes, pieces, end}: ResponseScript,
    hasReadRequest: boolean,
  ): Promise<void> {
    const bytes = Buffer.from(text, 'latin1').subarray(0, sentBytes);
    const pieceBytes = Math.max(1, Math.ceil(sentBytes / pieces));
    for (let at = 0; at < sentBytes; at += pieceBytes) {
      if (at > 0) {
        await new Promise(resolve => setImmediate(resolve));
      }
      socket.write(bytes.subarray(at, at + pieceBytes));
    }
    this.hasReadRequest = hasReadRequest;
    if (end === 'reset') {
      socket.resetAndDestroy();
    } else {
      socket.destroySoon();
    }
  }
}

/** `open` where both are right: what the server had sent may or may not have arrived, or the kernel decides. */
function decideTruth(
  script: ResponseScript,
  hasReadRequest: boolean,
): 'whole' | 'not whole' | 'open' {
  const {isValid, sentBytes, headBytes, wholeBytes, end} = script;
  if (!isValid || sentBytes < (wholeBytes ?? headBytes)) {
    return 'not whole';
  }
  if (wholeBytes !== undefined) {
    // A reset discards what the client has not read yet.
    return end === 'in-order' && hasReadRequest ? 'whole' : 'open';
  }
  if (end === 'reset') {
    return 'not whole';
  }
  if (hasReadRequest) {
    return 'whole';
  }
  // A long upload can't have left the client.
  return script.uploadBytes > 8 * 1024 * 1024 ? 'not whole' : 'open';
}

function describeScript({text, ...rest}: ResponseScript): string {
  return JSON.stringify({text, ...rest});
}

describe.each(httpClients)('%s', (_name, send) => {
  test(`takes none of ${RUNS} drawn responses as whole that is not, and all that are`, async () => {
    const server = await ScriptedServer.create();
    const counts = {whole: 0, 'not whole': 0, open: 0};
    await fc.assert(
      fc.asyncProperty(responseScript, async script => {
        server.script = script;
        server.hasReadRequest = false;
        const upload = Buffer.alloc(script.uploadBytes, 'x');
        const received = await send(server.address, upload).catch(
          () => undefined,
        );
        const truth = decideTruth(script, server.hasReadRequest);
        counts[truth] += 1;
        const what = describeScript(script);
        if (truth === 'not whole') {
          expect(received, what).toBeUndefined();
        } else if (truth === 'whole' || received) {
          const body =
            script.wholeBytes === undefined
              ? script.text.slice(script.headBytes, script.sentBytes)
              : script.body;
          expect(received, what).toEqual({status: script.status, body});
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
    expect(counts.whole).toBeGreaterThan(MIN_WHOLE);
    expect(counts['not whole']).toBeGreaterThan(MIN_WHOLE);
  });
});
