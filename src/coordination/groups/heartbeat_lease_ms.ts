/**
 * Milliseconds that a member's heartbeat is valid, from the time of its request.
 * Members wait for the same time before they join another group, so both sides
 * must use one value.
 */
export const HEARTBEAT_LEASE_MS = 700;
