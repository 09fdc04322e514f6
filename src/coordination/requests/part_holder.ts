/** A request that held a part of a prompt, without a response yet, when its backend server crashed. */
export interface PartHolder {
  readonly incarnation: string;
  /** The request's name, which begins with a digest of its caller. */
  readonly request: string;
  /** All parts of its prompt that other requests may share, less those that were proved harmless since. */
  readonly parts: readonly string[];
}
