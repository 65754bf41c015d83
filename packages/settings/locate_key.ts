const TABLE = /^\s*\[([^[\]]+)\]/
const ARRAY_TABLE = /^\s*\[\[([^[\]]+)\]\]/
const KEY = /^\s*([A-Za-z0-9_-]+)\s*=/

interface _KeyLine {
  readonly path: string
  readonly line: number
}

/**
 * Returns the line of a TOML text that defines a key.
 *
 * This is not a TOML parser: it only finds line numbers for messages about a text that has already been parsed. For a
 * key without a line of its own, such as one inside an inline table, the line is that of the innermost enclosing key or
 * table that has one.
 *
 * @param text The TOML text.
 * @param path The keys and array indices that lead to the value.
 * @returns The line number, starting at 1, or undefined if no prefix of the path is found.
 *
 * @example
 * ```ts
 * console.log(locateKey('[a]\nb = 1', ['a', 'b'])) // 2
 * ```
 */
export function locateKey (text: string, path: readonly PropertyKey[]): number | undefined {
  const lines = _indexKeys(text)
  for (let length = path.length; length > 0; length -= 1) {
    const prefix = path.slice(0, length).map(String).join('.')
    const found = lines.find((line) => line.path === prefix)
    if (found !== undefined) return found.line
  }
  return undefined
}

function _indexKeys (text: string): readonly _KeyLine[] {
  const counts = new Map<string, number>()
  const lines: _KeyLine[] = []
  let table = ''
  text.split('\n').forEach((content, index) => {
    const array = ARRAY_TABLE.exec(content)?.[1]
    const plain = TABLE.exec(content)?.[1]
    const key = KEY.exec(content)?.[1]
    if (array !== undefined) table = _appendElement(_resolvePath(array, counts), counts)
    else if (plain !== undefined) table = _resolvePath(plain, counts)
    else if (key === undefined) return
    const isTable = array !== undefined || plain !== undefined
    const path = isTable ? table : [table, key].filter((part) => part !== '').join('.')
    lines.push({ path, line: index + 1 })
  })
  return lines
}

function _appendElement (name: string, counts: Map<string, number>): string {
  const index = counts.get(name) ?? 0
  counts.set(name, index + 1)
  return `${name}.${index}`
}

// A table nested in an array of tables belongs to the last element of the array.
function _resolvePath (name: string, counts: ReadonlyMap<string, number>): string {
  const parts = name.split('.').map((part) => part.trim())
  return parts.reduce((path, part, i) => {
    const joined = path === '' ? part : `${path}.${part}`
    const count = counts.get(joined)
    return count !== undefined && i < parts.length - 1 ? `${joined}.${count - 1}` : joined
  }, '')
}
