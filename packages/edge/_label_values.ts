/** Value of a label whose own value is not counted separately. */
const OTHER = 'other'
/** Maximum length of a value, in characters; names are shorter, and texts of errors longer. */
const MAX_LENGTH = 100

/** Returns a function that maps values beyond a number of different ones to `other`, as each takes memory as long as the process lives. */
export function limitLabelValues (maxValues: number): (value: string) => string {
  const known = new Set<string>()
  return (value) => {
    if (known.has(value)) return value
    if (known.size >= maxValues || value.length > MAX_LENGTH) return OTHER
    known.add(value)
    return value
  }
}
