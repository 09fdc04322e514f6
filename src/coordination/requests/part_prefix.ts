/** Begins the names of parts of prompts, which no digest of a request contains. */
export const PART_PREFIX = 'part:';
