import * as http from 'node:http';
import {SoakReply} from './soak_reply';

/** Above every timeout of a route, so that the other side is the one that ends a request. */
const PATIENCE_MS = 8_000;

/** One call. */
interface SoakCall {
  readonly url: string;
  readonly method: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Keeps connections; a new one is opened without. */
  readonly agent?: http.Agent;
  readonly patienceMs?: number;
}

/** Sends one call and tells what came back; never rejects. */
export function sendCall(call: SoakCall): Promise<SoakReply> {
  const {url, method, headers = {}, agent = false} = call;
  const sentAt = performance.now();
  return new Promise(resolve => {
    const request = http.request(url, {method, headers, agent});
    const seen = {status: 0, body: '', isWhole: false, error: ''};
    let answeredId: string | undefined;
    let before = 0;
    let wasGivenUp = false;
    const timer = setTimeout(() => {
      wasGivenUp = true;
      request.destroy();
    }, call.patienceMs ?? PATIENCE_MS);
    request.on('socket', socket => (before = socket.bytesRead));
    request.on('error', error => (seen.error = error.message));
    request.on('response', answer => {
      seen.status = answer.statusCode ?? 0;
      answeredId = answer.headers['x-whinreel-request-id']?.toString();
      answer.on('data', chunk => (seen.body += chunk));
      answer.on('error', error => (seen.error = error.message));
      answer.on('end', () => (seen.isWhole = answer.complete));
    });
    request.on('close', () => {
      clearTimeout(timer);
      const bytes = (request.socket?.bytesRead ?? before) - before;
      const endedAt = performance.now();
      const wasOnKept = request.reusedSocket;
      const ends = {wasGivenUp, wasOnKept, sentAt, endedAt};
      resolve({...seen, ...ends, answeredId, bytes});
    });
    request.end(call.body ?? '');
  });
}
