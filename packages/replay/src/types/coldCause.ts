/** Why objects are cold. */
import type { HashRank } from '@lynxcourse/placement'

/**
 * Why an object is cold. `first`: no server has handled the object yet. `beside`: another request for the object is running or
 * waiting at the same server. `forgotten`: no server has the object warm any more. `moved to RANK`: another server has it warm;
 * RANK is the hash rank of the server that got the request, or `unnamed` if it has none.
 */
export type ColdCause = 'first' | 'beside' | 'forgotten' | `moved to ${HashRank | 'unnamed'}`
