//go:build tools

// Package gopls pins the version of the Go language server, which renames identifiers together
// with all their uses. Its module keeps the dependencies apart from those of the product.
package gopls

import _ "golang.org/x/tools/gopls"
