/**
 * Checks style rules that the linter does not cover: file names in snake case, one
 * export per file, doc comments on exports, and function names that begin with a
 * verb of docs/VERBS.md.
 */
import {readFileSync, readdirSync} from 'node:fs';
import * as path from 'node:path';
import * as ts from 'typescript';

const ROOT = path.resolve(__dirname, '../..');
const SNAKE_CASE = /^[a-z0-9]+(_[a-z0-9]+)*\.ts$/;

function listFiles(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const name = path.join(folder, entry.name);
    return entry.isDirectory()
      ? listFiles(name)
      : name.endsWith('.ts')
        ? [name]
        : [];
  });
}

function readVerbs(): Set<string> {
  const text = readFileSync(path.join(ROOT, 'docs/VERBS.md'), 'utf8');
  return new Set(
    [...text.matchAll(/^\| `([a-z]+)` \|/gm)].map(match => match[1]),
  );
}

function isExported(node: ts.Node): boolean {
  const modifiers = ts.canHaveModifiers(node)
    ? ts.getModifiers(node)
    : undefined;
  return (
    modifiers?.some(
      modifier => modifier.kind === ts.SyntaxKind.ExportKeyword,
    ) ?? false
  );
}

function listDeclaredNames(statement: ts.Statement): string[] {
  if (ts.isVariableStatement(statement)) {
    return statement.declarationList.declarations.map(declaration =>
      declaration.name.getText(),
    );
  }
  const named = statement as ts.Statement & {name?: ts.Identifier};
  return named.name ? [named.name.getText()] : [];
}

function hasDocComment(node: ts.Node, source: ts.SourceFile): boolean {
  const ranges =
    ts.getLeadingCommentRanges(source.text, node.getFullStart()) ?? [];
  return ranges.some(range => source.text.startsWith('/**', range.pos));
}

function checkExports(
  source: ts.SourceFile,
  report: (message: string) => void,
): void {
  const exported = source.statements.filter(isExported);
  const names = new Set(exported.flatMap(listDeclaredNames));
  if (names.size > 1) {
    report(`exports ${[...names].join(', ')}: one export a file`);
  }
  const isDocumented = exported.some(node => hasDocComment(node, source));
  const startsWithDoc = source.text.replace(/^#!.*\n/, '').startsWith('/**');
  if (!isDocumented && !startsWithDoc) {
    report('has no doc comment on its export or at its top');
  }
  for (const node of exported) {
    const isFunction = ts.isFunctionDeclaration(node);
    if (isFunction && !node.getFullText(source).includes('@example')) {
      report(`${node.name?.getText()} has no @example`);
    }
  }
}

function checkVerbs(
  source: ts.SourceFile,
  verbs: ReadonlySet<string>,
  report: (message: string) => void,
): void {
  const visitNode = (node: ts.Node) => {
    const isNamed =
      ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node);
    if (isNamed && node.name && ts.isIdentifier(node.name)) {
      const verb = /^[a-z]+/.exec(node.name.text)?.[0] ?? '';
      if (!verbs.has(verb)) {
        report(`${node.name.text}: "${verb}" is not a verb of docs/VERBS.md`);
      }
    }
    ts.forEachChild(node, visitNode);
  };
  visitNode(source);
}

function main(): void {
  const verbs = readVerbs();
  const violations: string[] = [];
  const files = ['src', 'platform'].flatMap(folder =>
    listFiles(path.join(ROOT, folder)),
  );
  for (const file of files) {
    const source = ts.createSourceFile(
      file,
      readFileSync(file, 'utf8'),
      ts.ScriptTarget.ES2022,
      true,
    );
    const report = (message: string) => {
      violations.push(`${path.relative(ROOT, file)}: ${message}`);
    };
    if (!SNAKE_CASE.test(path.basename(file))) {
      report('the file name is not in snake case');
    }
    checkExports(source, report);
    checkVerbs(source, verbs, report);
  }
  violations.forEach(violation => process.stderr.write(`${violation}\n`));
  process.exitCode = violations.length === 0 ? 0 : 1;
}

main();
