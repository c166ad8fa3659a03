# Prints each failed test of the output of go test -json with its package and all of its output, then
# the output of packages that failed without a failed test, and of the tests that had not ended there.

# Returns the text of a field of the JSON object in the current line.
function field(name,    rest, at, i, c, text) {
  at = index($0, "\"" name "\":\"")
  if (!at) return ""
  rest = substr($0, at + length(name) + 4)
  text = ""
  for (i = 1; i <= length(rest); i++) {
    c = substr(rest, i, 1)
    if (c == "\"") break
    if (c == "\\") {
      i++
      c = substr(rest, i, 1)
      if (c == "n") c = "\n"
      else if (c == "t") c = "\t"
      else if (c == "r") c = "\r"
      else if (c == "u") {
        c = substr(rest, i + 1, 4)
        i += 4
        c = c == "003c" ? "<" : c == "003e" ? ">" : c == "0026" ? "&" : "?"
      }
    }
    text = text c
  }
  return text
}

/"Action":"output"/ {
  key = field("Package") " " field("Test")
  output[key] = output[key] field("Output")
}

/"Action":"run"/ {
  started[++runs] = field("Package") " " field("Test")
}

/"Action":"(pass|fail|skip)"/ {
  ended[field("Package") " " field("Test")] = 1
}

/"Action":"fail"/ {
  package = field("Package")
  test = field("Test")
  if (test != "") failed[++count] = package " " test
  else broken[package] = 1
}

END {
  for (i = 1; i <= count; i++) {
    split(failed[i], parts, " ")
    hasFailedTest[parts[1]] = 1
    printf "FAILED TEST %s\n%s", failed[i], output[failed[i]]
  }
  for (package in broken) if (!(package in hasFailedTest)) printf "FAILED PACKAGE %s\n%s", package, output[package " "]
  for (i = 1; i <= runs; i++) {
    split(started[i], parts, " ")
    if (!(started[i] in ended) && (parts[1] in broken)) printf "NOT ENDED %s\n%s", started[i], output[started[i]]
  }
}
