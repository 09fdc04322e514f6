/** An HTTP client that reports the status, outcome header and text of a response, and whether it was cut off. */
import * as http from 'node:http';

/** One request. */
interface CallOptions {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly isSlowReader?: boolean;
}

/** The response. */
export interface CallResult {
  readonly status: number;
  readonly outcome: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** The connection failed before the end of the response. */
  readonly isBroken: boolean;
}

/** Sends one request; never rejects: a failed connection has status 0. */
export function call(options: CallOptions): Promise<CallResult> {
  return new Promise(resolve => {
    const failed = {
      status: 0,
      outcome: 'connection',
      headers: {},
      text: '',
      isBroken: true,
    };
    const {method, body} = options;
    const headers = {
      ...options.headers,
      'content-length': Buffer.byteLength(body),
    };
    const request = http.request(
      options.url,
      {method, headers, agent: false},
      response => {
        let text = '';
        const finish = (isBroken: boolean) => {
          const header =
            response.headers['whinreel-outcome'] ??
            response.trailers['whinreel-outcome'];
          const outcome = header?.toString() ?? '';
          const {statusCode: status = 0, headers} = response;
          resolve({status, outcome, headers, text, isBroken});
        };
        response.setEncoding('utf8');
        response.on('data', data => (text += String(data)));
        response.on('end', () => finish(false));
        response.on('error', () => finish(true));
        if (options.isSlowReader) {
          response.pause();
        }
      },
    );
    request.on('error', () => resolve(failed));
    request.end(body);
  });
}
