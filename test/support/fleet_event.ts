/** Something that happens to the fleet model, in milliseconds of virtual time. */
export type FleetEvent =
  | {
      readonly at: number;
      /** A member of some group of the domain is gone for good. */
      readonly kind: 'lose-member';
      readonly domain: string;
    }
  | {
      readonly at: number;
      /** Some hosts are silent for a while. */
      readonly kind: 'cut';
      readonly hosts: number;
      readonly forMs: number;
    }
  | {
      readonly at: number;
      /** A host without any weights comes. */
      readonly kind: 'add-host';
      readonly domain: string;
    };
