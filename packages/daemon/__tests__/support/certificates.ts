/** Certificates made at test time. */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { generate } from 'selfsigned'

export interface TlsIdentity {
  readonly cert: string
  readonly key: string
  readonly ca: string
}

/** An authority and what it signs. */
export interface CertificateAuthority {
  sign: (name: string) => Promise<TlsIdentity>
}

export async function createCertificateAuthority (): Promise<CertificateAuthority> {
  const ca = await generate([{ name: 'commonName', value: 'test authority' }], {
    keySize: 2048,
    algorithm: 'sha256',
    extensions: [{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, digitalSignature: true, critical: true }]
  })
  return {
    sign: async name => {
      const made = await generate([{ name: 'commonName', value: name }], {
        keySize: 2048, algorithm: 'sha256', ca: { key: ca.private, cert: ca.cert }, extensions: [{ name: 'basicConstraints', cA: false }]
      })
      return { cert: made.cert, key: made.private, ca: ca.cert }
    }
  }
}

/** Writes an identity as the files that settings name. */
export async function writeIdentityFiles (folder: string, identity: TlsIdentity): Promise<{ certFile: string, keyFile: string, caFile: string }> {
  const files = { certFile: join(folder, 'cert.pem'), keyFile: join(folder, 'key.pem'), caFile: join(folder, 'ca.pem') }
  await writeFile(files.caFile, identity.ca)
  await writeFile(files.keyFile, identity.key)
  await writeFile(files.certFile, identity.cert)
  return files
}
