# Prints which module of a crate imports which, a pair a line, for tsort. Reads all its files, formatted by rustfmt; the
# crate's directory of sources comes as `root`. A path is followed to the module that defines its last name, through
# re-exports: a parent that only re-exports its children imports nothing, and who names an item by it imports the child.

# A file's module: src/a/b.rs and src/a/b/mod.rs are a::b; src/lib.rs is the crate itself.
FNR == 1 {
    path = substr(FILENAME, length(root) + 2)
    sub(/\.rs$/, "", path); sub(/(^|\/)mod$/, "", path)
    if (path == "lib" || path == "main") path = ""
    gsub(/\//, "::", path)
    here = path; known[here] = 1; inline = 0; pending = ""
}
{
    line = $0
    gsub(/\\\\|\\"/, "", line); gsub(/"[^"]*"/, "", line); sub(/\/\/.*/, "", line)
}
line ~ /^(pub(\([a-z]+\))? )?mod [a-z_0-9]+ \{/ { inline = 1 }
line ~ /^\}/ { inline = 0 }
match(line, /^(pub(\([a-z]+\))? )?mod [a-z_0-9]+;/) { child = line; sub(/;.*/, "", child); sub(/.*mod /, "", child); children[here, child] = 1 }
match(line, /^pub(\([a-z]+\))? (async |const |unsafe )*(fn|struct|enum|type|trait|const|static|union) [A-Za-z_0-9]+/) {
    name = substr(line, 1, RLENGTH); sub(/.* /, "", name); defines[here, name] = 1
}
# A `use` may take several lines; other lines are looked at for paths that are written out.
pending != "" || line ~ /^ *(pub(\([a-z]+\))? )?use / {
    pending = pending " " line
    if (line ~ /;/) { tree(pending); pending = "" }
    next
}
{
    while (match(line, /(^|[^A-Za-z_0-9:])[a-z_][a-z_0-9]*::[A-Za-z_0-9:]+/)) {
        found = substr(line, RSTART, RLENGTH); sub(/^[^a-z_]/, "", found); sub(/:+$/, "", found)
        add(found, "")
        line = substr(line, RSTART + RLENGTH)
    }
}
# Takes `use a::{b, c::{d, e as f}};` apart.
function tree(text,    public, i, c, depth, word, prefix, kept) {
    public = text ~ /^ *pub/
    sub(/^ *(pub(\([a-z]+\))? )?use /, "", text); sub(/;.*/, "", text)
    gsub(/[ \t]+as[ \t]+/, "@", text); gsub(/[ \t]/, "", text)
    depth = 0; kept[0] = ""; word = ""
    for (i = 1; i <= length(text); i++) {
        c = substr(text, i, 1)
        if (c == "{") { depth++; kept[depth] = kept[depth - 1] word; word = "" }
        else if (c == "}" || c == ",") {
            if (word != "") add(kept[depth] word, public ? "pub" : "use")
            word = ""
            if (c == "}") depth--
        } else word = word c
    }
    if (word != "") add(kept[0] word, public ? "pub" : "use")
}
function add(text, how) { n++; at[n] = here; within[n] = inline; text_of[n] = text; how_of[n] = how }
function join(a, b) { return a == "" ? b : a "::" b }
function parent(m) { return m ~ /::/ ? substr(m, 1, last(m) - 1) : "" }
function last(m,    i, p) { p = 0; for (i = 1; i < length(m); i++) if (substr(m, i, 2) == "::") p = i; return p }
# The absolute path, or "-" for what is not of this crate.
function absolute(i,    parts, k, count, base, start) {
    text = text_of[i]; sub(/::self$/, "", text)
    count = split(text, parts, "::"); base = at[i]; start = 1
    if (parts[1] == "crate") { base = ""; start = 2 }
    else if (parts[1] == "self" || parts[1] == "super") {
        if (within[i] && parts[1] == "super") { start = 2 }
        while (parts[start] == "self" || parts[start] == "super") {
            if (parts[start] == "super") base = parent(base)
            start++
        }
    } else if (!((at[i], parts[1]) in children)) return "-"
    rest = ""
    for (k = start; k <= count; k++) rest = join(rest, parts[k])
    return base "|" rest
}
# The module that a path leads to, from a module on.
function resolve(base, rest, depth,    first, p, g, k, found) {
    if (depth > 20 || rest == "" || rest == "*") return base
    p = index(rest, "::"); first = p ? substr(rest, 1, p - 1) : rest; g = p ? substr(rest, p + 2) : ""
    sub(/@.*/, "", first)
    if (join(base, first) in known && (base, first) in children) return resolve(join(base, first), g, depth + 1)
    if ((base, first) in defines) return base
    if ((base, first) in alias) return resolve(alias_base[base, first], alias_rest[base, first], depth + 1)
    for (k = 1; k <= globs[base]; k++) {
        found = resolve(glob_base[base, k], first, depth + 1)
        if (found != glob_base[base, k] || (found, first) in defines) return found
    }
    return base
}
# Whoever takes all of a module takes what it re-exports too.
function everything(from, to, depth,    k) {
    if (depth > 20) return
    edge(from, to)
    for (k = 1; k <= reexports[to]; k++) everything(from, reexport[to, k], depth + 1)
}
# What stands at the top imports one way with all that is in it, so that pair is told too.
function edge(from, to,    a, b) {
    if (from == to) return
    print "crate" (from == "" ? "" : "::") from, "crate" (to == "" ? "" : "::") to
    split(from, a, "::"); split(to, b, "::")
    if (a[1] != "" && b[1] != "" && a[1] != b[1]) print "crate::" a[1] "/", "crate::" b[1] "/"
}
END {
    for (i = 1; i <= n; i++) {
        whole = absolute(i)
        if (whole == "-") { how_of[i] = "none"; continue }
        p = index(whole, "|"); base_of[i] = substr(whole, 1, p - 1); rest_of[i] = substr(whole, p + 1)
        if (how_of[i] != "pub") continue
        if (rest_of[i] ~ /\*$/) {
            stem = rest_of[i]; sub(/(::)?\*$/, "", stem)
            k = ++globs[at[i]]; glob_base[at[i], k] = resolve(base_of[i], stem, 0)
        } else {
            name = rest_of[i]; sub(/.*::/, "", name); sub(/.*@/, "", name)
            stem = rest_of[i]; sub(/@.*/, "", stem)
            alias[at[i], name] = 1; alias_base[at[i], name] = base_of[i]; alias_rest[at[i], name] = stem
        }
    }
    for (i = 1; i <= n; i++) if (how_of[i] == "pub") {
        stem = rest_of[i]; sub(/(::)?\*$/, "", stem)
        reexport[at[i], ++reexports[at[i]]] = resolve(base_of[i], stem, 0)
    }
    for (i = 1; i <= n; i++) {
        if (how_of[i] == "none" || how_of[i] == "pub") continue
        if (rest_of[i] ~ /\*$/) {
            stem = rest_of[i]; sub(/(::)?\*$/, "", stem)
            everything(at[i], resolve(base_of[i], stem, 0), 0)
        } else edge(at[i], resolve(base_of[i], rest_of[i], 0))
    }
}
