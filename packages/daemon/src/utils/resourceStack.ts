/** What a function owns until it hands it on; disposed in reverse order. */

export interface ResourceStack extends AsyncDisposable {
  items: Array<Disposable | AsyncDisposable>
}

export function createResourceStack (): ResourceStack {
  const stack: ResourceStack = { items: [], [Symbol.asyncDispose]: async () => await disposeResources(stack) }
  return stack
}

/** Takes a thing into ownership and gives it back for use. */
export function addResource<Thing extends Disposable | AsyncDisposable> (stack: ResourceStack, thing: Thing): Thing {
  stack.items.push(thing)
  return thing
}

/** Hands everything on: the old owner disposes nothing any more. */
export function moveResources (stack: ResourceStack): ResourceStack {
  const moved = createResourceStack()
  moved.items = stack.items
  stack.items = []
  return moved
}

async function disposeResources (stack: ResourceStack): Promise<void> {
  const items = stack.items.reverse()
  stack.items = []
  for (const item of items) {
    if (Symbol.asyncDispose in item) await item[Symbol.asyncDispose]()
    else item[Symbol.dispose]()
  }
}
