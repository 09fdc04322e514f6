/** The stream of a request; the same at every backend server. */
export const soakStream = {
  countEvents(id: string): number {
    return 3 + (Number(id.slice(1)) % 8);
  },

  /** One event; empty behind the last one. */
  formatEvent(id: string, at: number): string {
    const count = soakStream.countEvents(id);
    return at > count ? '' : `id: ${at}\ndata: ${id} ${at}/${count}\n\n`;
  },
};
