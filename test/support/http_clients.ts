import {ServerAddress} from '../../src/common/server_address';
/** The product's HTTP clients behind one function each, for tests of what they take as a response. */
import {BackendHttpClient} from '../../src/transport/backend_http_client';
import {callOnNewConnection} from '../../src/transport/call_on_new_connection';
import {HttpClientPool} from '../../src/transport/http_client_pool';

interface ReceivedResponse {
  readonly status: number;
  /** One character a byte. */
  readonly body: string;
}

/** Sends a POST with the body, or a GET without one; rejects unless the response is whole. */
type SendRequest = (address: string, body: Buffer) => Promise<ReceivedResponse>;

const TIMEOUT_MS = 10_000;
const MAX_ANSWER_BYTES = 1024 * 1024;

function describeBody(chunks: readonly Buffer[]): string {
  return Buffer.concat(chunks).toString('latin1');
}

async function sendFromGateway(
  address: string,
  body: Buffer,
): Promise<ReceivedResponse> {
  const pool = HttpClientPool.create();
  try {
    return await new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let status = 0;
      const request = {
        id: 'q',
        address: ServerAddress.parse(address),
        method: body.length > 0 ? 'POST' : 'GET',
        path: '/',
        headers: [],
        body: body.length > 0 ? body : null,
        maxConnections: 1,
      };
      pool.call(request, {
        onSent: () => true,
        onHead: received => (status = received),
        onData: chunk => chunks.push(Buffer.from(chunk)),
        onEnd: () => resolve({status, body: describeBody(chunks)}),
        onError: reject,
      });
    });
  } finally {
    await pool.close();
  }
}

async function sendFromHost(
  address: string,
  body: Buffer,
): Promise<ReceivedResponse> {
  const client = BackendHttpClient.create();
  const response = await client.call({
    url: `http://${address}`,
    method: body.length > 0 ? 'POST' : 'GET',
    path: '/',
    headers: {},
    body,
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const chunks: Buffer[] = [];
  for await (const chunk of response.body) {
    chunks.push(chunk);
  }
  return {status: response.status, body: describeBody(chunks)};
}

async function sendFromControl(
  address: string,
  body: Buffer,
): Promise<ReceivedResponse> {
  const answer = await callOnNewConnection({
    address: ServerAddress.parse(address),
    method: body.length > 0 ? 'POST' : 'GET',
    path: '/',
    body: body.length > 0 ? body.toString('latin1') : undefined,
    timeoutMs: TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  return {status: answer.status, body: describeBody([answer.body])};
}

/** Name and function of each client. */
export const httpClients: ReadonlyArray<readonly [string, SendRequest]> = [
  ['HttpClientPool', sendFromGateway],
  ['BackendHttpClient', sendFromHost],
  ['callOnNewConnection', sendFromControl],
];
