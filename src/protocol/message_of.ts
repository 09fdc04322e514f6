/** Selects the member of a message union by its `type`. */
export type MessageOf<
  Union extends {type: string},
  Type extends Union['type'],
> = Extract<Union, {type: Type}>;
