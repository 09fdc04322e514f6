/** The member of a message union that has the given type. */
export type MessageOf<
  Union extends {type: string},
  Type extends Union['type'],
> = Extract<Union, {type: Type}>;
