// Package report renders measurements as SVG charts, and as HTML pages with tables and charts.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
)

// Page is a report that is written as a single HTML file with inline charts.
type Page struct {
	Title    string
	Intro    string
	Sections []Section
}

// Section is a part of a page. Its text, table and charts are optional.
type Section struct {
	Title  string
	Text   string
	Header []string   // of the table; without a header the rows are not written either
	Rows   [][]string // of the table
	Charts []Chart
}

// pageTemplate is the template of a page. It is executed with a pageData.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style></head><body>
<h1>{{.Title}}</h1><p>{{.Intro}}</p>
{{range .Sections}}<h2>{{.Title}}</h2>{{with .Text}}<p>{{.}}</p>{{end}}
{{if .Header}}<table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>{{end}}
{{range .Pictures}}<figure>{{.}}</figure>
{{end}}{{end}}</body></html>
`))

// pageData is the input of pageTemplate.
type pageData struct {
	Title    string
	Intro    string
	Sections []renderedSection
}

// renderedSection is a section with its charts rendered as SVG elements.
type renderedSection struct {
	Section
	Pictures []template.HTML
}

// HTML writes the page as an HTML document.
func (p Page) HTML(out io.Writer) error {
	data := pageData{Title: p.Title, Intro: p.Intro}
	for _, section := range p.Sections {
		rendered, err := section.render()
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, rendered)
	}
	if err := pageTemplate.Execute(out, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// render renders the section's charts as SVG.
func (s Section) render() (renderedSection, error) {
	rendered := renderedSection{Section: s}
	for _, chart := range s.Charts {
		var buf bytes.Buffer
		if err := chart.SVG(&buf); err != nil {
			return renderedSection{}, err
		}
		picture := withoutProlog(buf.Bytes())
		rendered.Pictures = append(rendered.Pictures, template.HTML(picture))
	}
	return rendered, nil
}

// withoutProlog removes everything before the svg element of an SVG document, since HTML can't contain an XML declaration.
func withoutProlog(svg []byte) []byte {
	if n := bytes.Index(svg, []byte("<svg")); n >= 0 {
		return svg[n:]
	}
	return svg
}
