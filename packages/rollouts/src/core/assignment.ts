/** Which requests of a service belong to the target version of a rollout. All VMs decide alike, without communication. */
import { hashText } from '@lynxcourse/base'
import type { RolloutItem } from '@lynxcourse/state'

const hashRange = 2 ** 32

/**
 * Returns whether an object belongs to the target version. An object that belongs to it at some percentage still does at any
 * higher one, so that a growing share moves each object at most once.
 */
export function isTargetObject ({ key, order, percent }: RolloutItem, object: string): boolean {
  return hashText(`${key} ${order} ${object}`) / hashRange * 100 < percent
}
