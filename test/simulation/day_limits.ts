/** Sizes and times of every simulated day. */
export const VOTERS = 5;
/** Availability zones that the voters are spread over. */
export const ZONES = 3;
/** Zones that the operator of a day evacuates and restores. */
export const EVACUATED_ZONES = ['zone-0', 'zone-1', 'zone-2'];
export const LOSSES = 2;
export const SEEDS = 3;
export const LOOK_EVERY_MS = 100;
/** A leader is back, and a change is taken, within this once all machines run. */
export const RECOVER_MS = 12_000;
/** Between two changes once the day is over, on average. */
export const BUSY_EVERY_MS = 200;
/** How long the day waits for an acknowledgement to end after. */
export const CLOSING_WAIT_MS = 8_000;
/** A request is convicted with every so manieth change. */
export const CHANGES_PER_VERDICT = 4;
/** How long a disturbed recovery goes on before it is calm. */
export const DISTURBED_MS = 15_000;
/** No leader may take longer than this once the last survivor listens and nothing else goes wrong. */
export const LEADER_WITHIN_MS = 5_000;
