/** Bounded queue of requests that wait for a slot, ordered by deadline. */
import type { Millis } from '@lynxcourse/base'

export interface QueueItem {
  readonly deadline: Millis
  /** Breaks ties between equal deadlines; lower comes first. */
  readonly order: number
}

/** Waiting requests as a binary heap. */
export interface DeadlineQueue<Item extends QueueItem> {
  /** Maximum length. Lowering it removes no request that already waits. */
  limit: number
  heap: Item[]
}

export function createDeadlineQueue<Item extends QueueItem> (limit: number): DeadlineQueue<Item> {
  return { limit, heap: [] }
}

function isBefore (a: QueueItem, b: QueueItem): boolean {
  return a.deadline < b.deadline || (a.deadline === b.deadline && a.order < b.order)
}

/** Adds a request; returns false when the queue is full. */
export function enqueue<Item extends QueueItem> (queue: DeadlineQueue<Item>, item: Item): boolean {
  if (queue.heap.length >= queue.limit) return false
  queue.heap.push(item)
  siftUp(queue.heap, queue.heap.length - 1)
  return true
}

/** Removes and returns the request with the earliest deadline. */
export function dequeue<Item extends QueueItem> (queue: DeadlineQueue<Item>): Item | undefined {
  return removeAt(queue.heap, 0)
}

/** Removes a request from any position; returns false when it is not in the queue. */
export function removeItem<Item extends QueueItem> (queue: DeadlineQueue<Item>, item: Item): boolean {
  const index = queue.heap.indexOf(item)
  if (index < 0) return false
  removeAt(queue.heap, index)
  return true
}

function removeAt<Item extends QueueItem> (heap: Item[], index: number): Item | undefined {
  const removed = heap[index]
  const last = heap.pop()
  if (removed === undefined || last === undefined || index >= heap.length) return removed
  heap[index] = last
  siftDown(heap, index)
  siftUp(heap, index)
  return removed
}

function siftUp<Item extends QueueItem> (heap: Item[], from: number): void {
  let index = from
  while (index > 0) {
    const parent = (index - 1) >> 1
    if (!isBefore(heap[index] as Item, heap[parent] as Item)) return
    swap(heap, index, parent)
    index = parent
  }
}

function siftDown<Item extends QueueItem> (heap: Item[], from: number): void {
  let index = from
  for (;;) {
    const left = index * 2 + 1
    const right = left + 1
    let first = index
    if (left < heap.length && isBefore(heap[left] as Item, heap[first] as Item)) first = left
    if (right < heap.length && isBefore(heap[right] as Item, heap[first] as Item)) first = right
    if (first === index) return
    swap(heap, index, first)
    index = first
  }
}

function swap<Item> (heap: Item[], a: number, b: number): void {
  const item = heap[a] as Item
  heap[a] = heap[b] as Item
  heap[b] = item
}
