/** Ends what was set going. */
export type Cancel = () => void;
