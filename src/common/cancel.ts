/** Cancels a scheduled callback. */
export type Cancel = () => void;
