/** A caller that notes when each token of a streamed answer came. */
import * as http from 'node:http';

const TOKEN_MARK = '"content"';

/** Where to ask and for how much. */
interface StreamOptions {
  readonly url: string;
  readonly key?: string;
  readonly model: string;
  readonly tokens: number;
  readonly agent: http.Agent;
}

/** Times in milliseconds. */
interface StreamTimes {
  readonly firstTokenMs: number;
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  readonly isWhole: boolean;
}

/** Sends one request and times its tokens. */
export function timeStream(options: StreamOptions): Promise<StreamTimes> {
  const body = JSON.stringify({
    model: options.model,
    stream: true,
    max_tokens: options.tokens,
    messages: [{role: 'user', content: 'benchmark'}],
  });
  return new Promise((resolve, reject) => {
    const startedAt = performance.now();
    const request = http.request(
      `${options.url}/v1/chat/completions`,
      {
        method: 'POST',
        agent: options.agent,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          authorization: `Bearer ${options.key ?? 'none'}`,
        },
      },
      response => {
        let firstTokenMs = 0;
        let lastAt = 0;
        let tokens = 0;
        let tail = '';
        const gapsMs: number[] = [];
        response.on('data', (chunk: Buffer) => {
          const now = performance.now();
          const text = chunk.toString('latin1');
          const count = text.split(TOKEN_MARK).length - 1;
          if (count === 0) {
            tail = text;
            return;
          }
          if (tokens === 0) {
            firstTokenMs = now - startedAt;
          } else {
            gapsMs.push(now - lastAt);
          }
          lastAt = now;
          tokens += count;
          tail = text;
        });
        response.on('end', () => {
          const isWhole =
            response.statusCode === 200 && tail.endsWith('[DONE]\n\n');
          resolve({firstTokenMs, gapsMs, tokens, isWhole});
        });
        response.on('error', reject);
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}
