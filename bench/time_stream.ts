/** A client that measures the arrival times of the tokens of a streamed response. */
import * as http from 'node:http';

const TOKEN_FIELD = '"content"';

/** Target of the request and number of tokens to ask for. */
interface StreamOptions {
  readonly url: string;
  readonly key?: string;
  readonly model: string;
  readonly tokens: number;
  readonly agent: http.Agent;
}

/** Arrival times in milliseconds, and whether the stream ended with its end marker. */
interface StreamTimes {
  readonly firstTokenMs: number;
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  readonly isWhole: boolean;
}

/** Sends one request and measures the time to the first token and the gaps between tokens. */
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
        let lastChunk = '';
        const gapsMs: number[] = [];
        response.on('data', (chunk: Buffer) => {
          const now = performance.now();
          const text = chunk.toString('latin1');
          const count = text.split(TOKEN_FIELD).length - 1;
          if (count === 0) {
            lastChunk = text;
            return;
          }
          if (tokens === 0) {
            firstTokenMs = now - startedAt;
          } else {
            gapsMs.push(now - lastAt);
          }
          lastAt = now;
          tokens += count;
          lastChunk = text;
        });
        response.on('end', () => {
          const isWhole =
            response.statusCode === 200 && lastChunk.endsWith('[DONE]\n\n');
          resolve({firstTokenMs, gapsMs, tokens, isWhole});
        });
        response.on('error', reject);
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}
