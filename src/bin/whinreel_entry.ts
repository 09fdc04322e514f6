#!/usr/bin/env node
/** Starts one entry process. */
import {resolveEntrySettings} from '../config/resolve_entry_settings';
import {EntryServer} from '../entry/entry_server';
import {runDaemon} from './run_daemon';

void runDaemon('whinreel-entry', () => {
  const {settings, logFormat} = resolveEntrySettings(
    process.argv.slice(2),
    process.env,
  );
  return {
    logFormat,
    start: async () => {
      const entry = await EntryServer.create(settings);
      return {
        events: entry.events,
        ports: {port: entry.port},
        stop: () => entry.drain(),
      };
    },
  };
});
