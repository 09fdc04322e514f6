/** Runs one of the real binaries for a test, demo or benchmark. */
import {ChildProcess, spawn} from 'node:child_process';
import * as path from 'node:path';

const START_TIMEOUT_MS = 15_000;

/** The binary and its arguments. */
interface ManagedProcessOptions {
  readonly label: string;
  /** Script below `build/`. */
  readonly script: string;
  readonly args: readonly string[];
  /** Added to the environment of the test. */
  readonly env?: Readonly<Record<string, string>>;
  /** Most open descriptors, as the kernel enforces it; that of the test without. */
  readonly maxFds?: number;
}

/** Node.js raises the soft limit to the hard one at its start, so a shell sets both before it becomes Node.js. */
function formatCommand(
  args: readonly string[],
  maxFds: number | undefined,
): {file: string; args: string[]} {
  if (maxFds === undefined) {
    return {file: process.execPath, args: [...args]};
  }
  const script = `ulimit -n ${maxFds} && exec "$0" "$@"`;
  return {file: '/bin/sh', args: ['-c', script, process.execPath, ...args]};
}

/** Reads flags for Node.js, for instance to profile every process: `--cpu-prof --cpu-prof-dir=...`. */
function readNodeArgs(): string[] {
  return (process.env['BENCH_NODE_ARGS'] ?? '')
    .split(' ')
    .filter(arg => arg !== '');
}

/** Finds the build folder, whether this file runs compiled below `build/` or from source under the test runner. */
function findBuildFolder(): string {
  const root = path.resolve(__dirname, '../..');
  return path.basename(root) === 'build' ? root : path.join(root, 'build');
}

/** A child process that prints a ready line and exits with its parent. */
export class ManagedProcess {
  readonly lines: string[] = [];
  readonly exited: Promise<number | null>;
  hasExited = false;
  stderr = '';

  private constructor(
    readonly label: string,
    private readonly child: ChildProcess,
    readonly ready: Readonly<Record<string, unknown>>,
  ) {
    this.exited = new Promise(resolve => {
      child.once('exit', code => {
        this.hasExited = true;
        resolve(code);
      });
    });
  }

  /** Starts a script and waits for its ready line. */
  static async create(options: ManagedProcessOptions): Promise<ManagedProcess> {
    const file = path.join(findBuildFolder(), options.script);
    const guard = path.join(
      findBuildFolder(),
      'test/support/exit_with_parent.js',
    );
    const command = formatCommand(
      [...readNodeArgs(), '-r', guard, file, ...options.args],
      options.maxFds,
    );
    const child = spawn(command.file, command.args, {
      stdio: ['pipe', 'pipe', 'pipe'],
      env: {...process.env, ...options.env},
    });
    let stderr = '';
    child.stderr.on('data', data => (stderr += String(data)));
    const lines: string[] = [];
    const ready = await new Promise<Record<string, unknown>>(
      (resolve, reject) => {
        const fail = (why: string) => {
          child.kill('SIGKILL');
          reject(new Error(`${options.label}: ${why}: ${stderr.trim()}`));
        };
        const timer = setTimeout(
          () => fail('not ready in time'),
          START_TIMEOUT_MS,
        );
        child.once('exit', code => fail(`exited with ${code}`));
        let rest = '';
        child.stdout.on('data', data => {
          rest += String(data);
          const parts = rest.split('\n');
          rest = parts.pop() ?? '';
          for (const line of parts) {
            lines.push(line);
            if (line.startsWith('{"ready"')) {
              clearTimeout(timer);
              resolve(JSON.parse(line) as Record<string, unknown>);
            }
          }
        });
      },
    );
    child.removeAllListeners('exit');
    const managed = new ManagedProcess(options.label, child, ready);
    managed.lines.push(...lines);
    child.stdout.on('data', data =>
      managed.lines.push(...String(data).split('\n')),
    );
    child.stderr.on('data', data => (managed.stderr += String(data)));
    return managed;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Stops the process with SIGTERM, as an operator would, even if it is paused. */
  async stop(): Promise<number | null> {
    this.child.kill('SIGCONT');
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Closes standard input, as the exit of the parent does. */
  closeInput(): void {
    this.child.stdin?.end();
  }

  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Makes the process reload its settings. */
  reload(): void {
    this.child.kill('SIGHUP');
  }

  pause(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }
}
