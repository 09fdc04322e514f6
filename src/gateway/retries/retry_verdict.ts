/** Whether a request may be sent once more. `pending`: not yet, control is deciding on a loan. */
export type RetryVerdict = 'granted' | 'pending' | 'denied';
