//go:build tools

// Package gopls declares the language server whose renames follow every use.
package gopls

import _ "golang.org/x/tools/gopls"
