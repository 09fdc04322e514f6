#!/usr/bin/env node
/** Starts one host process, which runs beside one backend server. */
import {resolveHostSettings} from '../config/resolve_host_settings';
import {HostServer} from '../host/host_server';
import {runDaemon} from './run_daemon';

void runDaemon('whinreel-host', () => {
  const {settings, logFormat} = resolveHostSettings(
    process.argv.slice(2),
    process.env,
  );
  return {
    logFormat,
    start: async () => {
      const host = await HostServer.create(settings);
      return {
        events: host.events,
        ports: {port: host.port, announcePort: host.announcePort},
        stop: () => host.drain(),
      };
    },
  };
});
