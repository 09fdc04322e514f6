import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import * as path from 'node:path';
import {ControlServer} from '../../src/control/control_server';

/** A control process of a seeded quorum, whose name is its address. */
interface SeededControlOptions {
  readonly name: string;
  readonly seeds: readonly string[];
  /** Data folder; an empty one by default. */
  readonly folder?: string;
  readonly isFirstStart?: boolean;
  /** Number of voters, of which a majority holds each entry. */
  readonly voters?: number;
}

/**
 * Starts a control process; the caller closes it.
 *
 * @example
 * const control = await startSeededControl({name: '127.0.0.1:7000', seeds});
 */
export function startSeededControl({
  name,
  seeds,
  folder = mkdtempSync(path.join(tmpdir(), 'whinreel-control-')),
  isFirstStart = false,
  voters = 5,
}: SeededControlOptions): Promise<ControlServer> {
  const [host, port] = name.split(':');
  return ControlServer.create({
    name,
    host,
    port: Number(port),
    dataFolder: folder,
    peers: new Map(),
    trustedKeys: [],
    trustedChannels: [],
    leaseMs: 5_000,
    seeded: {
      seeds,
      isFirstStart,
      voters,
      minCopies: Math.floor(voters / 2) + 1,
    },
  });
}
