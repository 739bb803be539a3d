/** Resources that are disposed together, in reverse order, unless their ownership is moved. */

/** Resources that one owner disposes. */
export interface Owned extends AsyncDisposable {
  items: Array<Disposable | AsyncDisposable>
}

export function createOwned (): Owned {
  const owned: Owned = { items: [], [Symbol.asyncDispose]: async () => await disposeOwned(owned) }
  return owned
}

/** Adds a resource and returns it. */
export function own<Resource extends Disposable | AsyncDisposable> (owned: Owned, resource: Resource): Resource {
  owned.items.push(resource)
  return resource
}

/** Moves all resources to a new owner. The old owner no longer disposes them. */
export function moveOwned (owned: Owned): Owned {
  const moved = createOwned()
  moved.items = owned.items
  owned.items = []
  return moved
}

async function disposeOwned (owned: Owned): Promise<void> {
  const items = owned.items.reverse()
  owned.items = []
  for (const item of items) {
    if (Symbol.asyncDispose in item) await item[Symbol.asyncDispose]()
    else item[Symbol.dispose]()
  }
}
