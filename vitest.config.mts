import {defineConfig} from 'vitest/config';

/** These start and kill many processes, so they run after all other files. */
const SOAK = ['test/soak/**/*.test.ts', 'test/faulty_input/**/*.test.ts'];
/** Crowds of connections take turns, and nothing else runs beside them. */
const CROWD = 'test/crowd/**/*.test.ts';

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    maxWorkers: 3,
    maxConcurrency: 3,
    projects: [
      {
        extends: true,
        test: {
          name: 'product',
          include: ['test/**/*.test.ts'],
          exclude: [...SOAK, CROWD],
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {name: 'soak', include: SOAK, sequence: {groupOrder: 1}},
      },
      {
        extends: true,
        test: {
          name: 'crowd',
          include: [CROWD],
          maxWorkers: 1,
          fileParallelism: false,
          sequence: {groupOrder: 2},
        },
      },
    ],
  },
});
