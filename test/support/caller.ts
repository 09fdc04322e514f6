/** A caller that keeps what it got: status, headers, text and how the answer ended. */
import * as http from 'node:http';

/** One request. */
interface CallOptions {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly isSlowReader?: boolean;
}

/** What came back. */
export interface CallResult {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
  /** The transfer broke off. */
  readonly isBroken: boolean;
}

/** Sends one request; never rejects. */
export function call(options: CallOptions): Promise<CallResult> {
  return new Promise(resolve => {
    const broken = {status: 0, outcome: 'connection', text: '', isBroken: true};
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
          resolve({status: response.statusCode ?? 0, outcome, text, isBroken});
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
    request.on('error', () => resolve(broken));
    request.end(body);
  });
}
