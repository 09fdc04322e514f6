/**
 * Milliseconds that a member's heartbeat counts, from when it was asked for.
 * Members rely on the same figure when they wait before joining elsewhere.
 */
export const HEARTBEAT_LEASE_MS = 700;
