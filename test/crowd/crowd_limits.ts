/** Descriptors of a machine that are not for sockets. */
const FILE_FDS = 200;

/** What each machine of a crowd test has; every bound follows from these. */
export const CROWD_LIMITS = {
  memoryMb: 256,
  heapMb: 96,
  maxFds: 500,
  /** What sockets, pipes and data files may take together. */
  maxSocketFds: 500 - FILE_FDS,
  /** Of a caller's body, by the configuration. */
  maxBodyBytes: 1024 * 1024,
} as const;
