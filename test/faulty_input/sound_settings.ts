import * as path from 'node:path';
import {SoakMachine} from '../soak/soak_machine';
import {formatOddToml} from './format_odd_toml';

const fields = {
  node_name: '{ip}',
  ip: '{ip}',
  zone: 'z',
  zones: {z: 'r'},
  internal_ports: ['@raw:{internal}@', '@raw:{internal}@'],
  seeds: ['{seed0}', '{seed1}', '{seed2}'],
  bootstrap: false,
  data_dir: '{data}',
  heartbeat_ms: 300,
  listen: {front: '{front}', ready: '{ready}', control: '{control}'},
  limits: {memory_mb: 350, max_fds: 4_100},
  fault_tolerance: {machines: 1},
  bounds: {
    grace_s: 8,
    revoke_ms: 5_000,
    evac_ms: 5_000,
    config_apply_ms: 2_000,
    budget_ratio: 0.2,
    budget_window_s: 10,
    budget_slack: 50,
    stall_ms: 5_000,
  },
};

/** Settings of any machine; texts in braces stand for what differs between them. */
export const soundSettings = {
  fields,

  /**
   * Formats these settings, or a variation of them, as the file of one machine.
   *
   * @example
   * soundSettings.format(machine, {...soundSettings.fields, zone: ''});
   */
  format({options}: SoakMachine, settings: object = fields): string {
    const {ip, ports, seeds, folder} = options;
    return formatOddToml(settings)
      .replaceAll('{ip}', ip)
      .replaceAll('{internal}', String(ports.internal))
      .replaceAll('{data}', path.join(folder, 'data'))
      .replaceAll('{front}', `${ip}:${ports.front}`)
      .replaceAll('{ready}', `${ip}:${ports.ready}`)
      .replaceAll('{control}', `${ip}:${ports.control}`)
      .replaceAll('{port}', String(ports.control))
      .replace(
        /\{seed(\d)\}/g,
        (_, at) => `${seeds[Number(at)]}:${ports.control}`,
      );
  },
};
