/** Requests that wait for a slot, ordered by deadline. Bounded; the caller says what happens at the bound. */
import type { Millis } from '@lynxcourse/base'

export interface QueueItem {
  readonly deadline: Millis
  readonly order: number
}

/** Waiting requests as a binary heap. */
export interface DeadlineQueue<Item extends QueueItem> {
  /** Most that may wait; those who wait already stay when it is lowered. */
  limit: number
  heap: Item[]
}

export function createDeadlineQueue<Item extends QueueItem> (limit: number): DeadlineQueue<Item> {
  return { limit, heap: [] }
}

function isBefore (a: QueueItem, b: QueueItem): boolean {
  return a.deadline < b.deadline || (a.deadline === b.deadline && a.order < b.order)
}

/** Adds a request; false when the queue is full. */
export function enqueue<Item extends QueueItem> (queue: DeadlineQueue<Item>, item: Item): boolean {
  if (queue.heap.length >= queue.limit) return false
  queue.heap.push(item)
  siftUp(queue.heap, queue.heap.length - 1)
  return true
}

/** Takes out the request with the earliest deadline. */
export function dequeue<Item extends QueueItem> (queue: DeadlineQueue<Item>): Item | undefined {
  return removeAt(queue.heap, 0)
}

/** Takes one request out, wherever it stands. */
export function removeItem<Item extends QueueItem> (queue: DeadlineQueue<Item>, item: Item): boolean {
  const place = queue.heap.indexOf(item)
  if (place < 0) return false
  removeAt(queue.heap, place)
  return true
}

function removeAt<Item extends QueueItem> (heap: Item[], place: number): Item | undefined {
  const removed = heap[place]
  const last = heap.pop()
  if (removed === undefined || last === undefined || place >= heap.length) return removed
  heap[place] = last
  siftDown(heap, place)
  siftUp(heap, place)
  return removed
}

function siftUp<Item extends QueueItem> (heap: Item[], from: number): void {
  let place = from
  while (place > 0) {
    const parent = (place - 1) >> 1
    if (!isBefore(heap[place] as Item, heap[parent] as Item)) return
    swap(heap, place, parent)
    place = parent
  }
}

function siftDown<Item extends QueueItem> (heap: Item[], from: number): void {
  let place = from
  for (;;) {
    const left = place * 2 + 1
    const right = left + 1
    let first = place
    if (left < heap.length && isBefore(heap[left] as Item, heap[first] as Item)) first = left
    if (right < heap.length && isBefore(heap[right] as Item, heap[first] as Item)) first = right
    if (first === place) return
    swap(heap, place, first)
    place = first
  }
}

function swap<Item> (heap: Item[], a: number, b: number): void {
  const held = heap[a] as Item
  heap[a] = heap[b] as Item
  heap[b] = held
}
