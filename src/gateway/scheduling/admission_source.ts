/** What the leader said last about the requests that may begin, for the scheduling of one gateway. */
import {ModelAdmission} from '../../protocol/model_admission';

/** Looked up at each scheduling decision. */
export interface AdmissionSource {
  /** Returns the newest admission of a model; undefined if the leader sent none lately. */
  readonly findAdmission: (
    pool: string,
    model: string,
  ) => ModelAdmission | undefined;
}
