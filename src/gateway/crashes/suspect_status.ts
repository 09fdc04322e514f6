/** How a gateway may treat a request: send it freely, only as a trial, or never. */
export type SuspectStatus = 'free' | 'suspected' | 'convicted';
