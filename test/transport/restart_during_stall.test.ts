/** Guards against a response that looks whole because its server was killed and started again while this process was held up. */
import {spawn} from 'node:child_process';
import * as net from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {ProcessPauses} from '../../src/common/process_pauses';
import {ServerAddress} from '../../src/common/server_address';
import {HttpClientPool} from '../../src/transport/http_client_pool';

/** Writes a part of a response to each request, and is killed if it is the first process. */
const SERVER = `
const {createServer} = require('node:net');
const server = createServer(socket => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.write('HTTP/1.1 200 OK\\r\\n\\r\\npart');
    if (process.argv[2] === 'killed') {
      setTimeout(() => process.kill(process.pid, 'SIGKILL'), 20);
    }
  });
});
server.listen(Number(process.argv[1]), '127.0.0.1', () => console.log('up'));
`;
/** Starts the second process as soon as the first has ended. */
const SUPERVISOR = '"$0" -e "$1" "$2" killed; exec "$0" -e "$1" "$2" stays';
const TICK_MS = 10;

const closers: Array<() => unknown> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

function holdUp(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until) {
    // Nothing is read meanwhile.
  }
}

test.each([150, 200, 250])(
  'a server that is killed and started again while the client is held up for %i ms has not ended its response',
  async ms => {
    const port = await findFreePort();
    const args = ['-c', SUPERVISOR, process.execPath, SERVER, String(port)];
    const child = spawn('sh', args, {stdio: ['ignore', 'pipe', 'inherit']});
    closers.push(() => child.kill('SIGKILL'));
    await new Promise(resolve => child.stdout.once('data', resolve));
    const hasRestarted = new Promise(resolve =>
      child.stdout.once('data', resolve),
    );
    const pauses = ProcessPauses.create();
    const timer = setInterval(() => pauses.record(), TICK_MS);
    const client = HttpClientPool.create(() => pauses.hasPausedLately());
    closers.push(
      () => clearInterval(timer),
      () => client.close(),
    );
    const end = await new Promise<string>(resolve => {
      client.call(
        {
          id: 'q',
          address: ServerAddress.parse(`127.0.0.1:${port}`),
          method: 'GET',
          path: '/',
          headers: [],
          body: null,
          maxConnections: 1,
        },
        {
          onSent: () => true,
          onHead: () => undefined,
          onData: () => void setTimeout(() => holdUp(ms), TICK_MS),
          onEnd: () => resolve('whole'),
          onError: ({name}) => resolve(name),
        },
      );
    });
    // The shell has become the second process, so that its id ends it.
    await hasRestarted;
    expect(end).toBe('Broken');
  },
);
