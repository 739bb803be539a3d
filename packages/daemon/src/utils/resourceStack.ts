/** Resources that are disposed together, in reverse order, unless their ownership is moved. */

/** Resources that one owner disposes. */
export interface ResourceStack extends AsyncDisposable {
  items: Array<Disposable | AsyncDisposable>
}

export function createResourceStack (): ResourceStack {
  const stack: ResourceStack = { items: [], [Symbol.asyncDispose]: async () => await disposeResources(stack) }
  return stack
}

/** Adds a resource and returns it. */
export function addResource<Resource extends Disposable | AsyncDisposable> (stack: ResourceStack, resource: Resource): Resource {
  stack.items.push(resource)
  return resource
}

/** Moves all resources to a new owner. The old owner no longer disposes them. */
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
