/** The part of the hosts that is kept to take the place of lost members. */
export const SPARE_SHARE = 0.25;
